package setup

import (
	"fmt"
	"strings"
)

// Fault is one reason why settings are refused.
type Fault struct {
	File, Section, Key, Value string
	// Want says which values are allowed.
	Want string
}

// Error describes the fault.
func (f Fault) Error() string {
	s := f.File + ": "
	if f.Section != "" {
		s += "[" + f.Section + "] "
	}
	if f.Key != "" {
		s += fmt.Sprintf("%s = %s: ", f.Key, f.Value)
	}
	return s + "want " + f.Want
}

// Faults is every fault of a file of settings.
type Faults []Fault

// Error describes the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}
