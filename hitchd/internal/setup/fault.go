package setup

import (
	"fmt"
	"strings"
)

// Fault is one invalid value, key or section of the settings. Section and Key are
// empty if the fault isn't about one.
type Fault struct {
	File, Section, Key, Value string
	// Want describes the allowed values.
	Want string
}

// Error returns the place, the value and the allowed values, such as
// "host.ini: [log] level = loud: want trace, debug, info, warn, error or off".
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

// Faults holds all faults of a settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}
