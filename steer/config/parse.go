package config

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// ParseError lists all faults of a configuration text.
type ParseError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// loadOptions keep the INI parser from merging duplicate sections and keys, so
// that they can be reported, and from letting a section inherit the keys of
// another one whose name is a prefix of its own.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	ChildSectionDelimiter:      "\x00",
}

// Parse reads records from INI text with one section `[kind name]` for each
// record. It returns a [ParseError] that lists every invalid section, key and
// value with what is allowed.
func Parse(text []byte) (Records, error) {
	f, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return Records{}, errors.Wrap(err, "parse configuration")
	}
	var out Records
	var faults []Fault
	seen := make(map[string]bool)
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			faults = append(faults, keysOutsideSections(s)...)
			continue
		}
		if seen[s.Name()] {
			faults = append(faults, Fault{Name: s.Name(), Key: "section", Value: "[" + s.Name() + "]", Want: "each record once"})
			continue
		}
		seen[s.Name()] = true
		faults = append(faults, out.addSection(s)...)
	}
	if len(faults) > 0 {
		return Records{}, &ParseError{faults}
	}
	return out, nil
}

// keysOutsideSections returns a fault for each key before the first section.
func keysOutsideSections(s *ini.Section) []Fault {
	var out []Fault
	for _, k := range s.Keys() {
		out = append(out, Fault{Key: k.Name(), Value: k.Value(), Want: "keys inside a section [kind name]"})
	}
	return out
}

// addSection decodes a section and appends its record to the list of its kind.
func (r *Records) addSection(s *ini.Section) []Fault {
	kind, name, _ := strings.Cut(s.Name(), " ")
	if !namePattern.MatchString(name) {
		return []Fault{{Kind: Kind(kind), Name: name, Key: "section", Value: fmt.Sprintf("[%s]", s.Name()), Want: "[kind name], name being " + wantName}}
	}
	switch Kind(kind) {
	case KindRegion:
		return decodeSection(s, Kind(kind), name, &r.Regions, Region{Name: name})
	case KindService:
		return decodeSection(s, Kind(kind), name, &r.Services, Service{Name: name})
	case KindServer:
		return decodeSection(s, Kind(kind), name, &r.Servers, Server{Name: name})
	case KindLink:
		return decodeSection(s, Kind(kind), name, &r.Links, Link{Name: name})
	case KindProfile:
		return decodeSection(s, Kind(kind), name, &r.Profiles, Profile{Name: name})
	case KindDrain:
		return decodeSection(s, Kind(kind), name, &r.Drains, Drain{Name: name})
	case KindMove:
		return decodeSection(s, Kind(kind), name, &r.Moves, Move{Name: name})
	case KindRoute:
		return decodeSection(s, Kind(kind), name, &r.Routes, Route{Name: name})
	}
	return []Fault{{Kind: Kind(kind), Name: name, Key: "section", Value: fmt.Sprintf("[%s]", s.Name()), Want: "kind region, service, server, link, profile, drain, move or route"}}
}

// decodeSection decodes the section into v and appends v to the list if there is no fault.
func decodeSection[T recordType](s *ini.Section, k Kind, name string, list *[]T, v T) []Fault {
	faults := decode(s, &v)
	for i := range faults {
		faults[i].Kind, faults[i].Name = k, name
	}
	if len(faults) == 0 {
		*list = append(*list, v)
	}
	return faults
}
