package config

import (
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// Parse reads records from INI text with one section `[kind name]` for each
// record. It returns an error that names every faulty section and key.
func Parse(text []byte) (Records, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, text)
	if err != nil {
		return Records{}, errors.Wrap(err, "parse configuration")
	}
	var out Records
	var faults []error
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				faults = append(faults, errors.Errorf("key %s stands outside a section", s.Keys()[0].Name()))
			}
			continue
		}
		if err := out.addSection(s); err != nil {
			faults = append(faults, errors.Wrapf(err, "section [%s]", s.Name()))
		}
	}
	return out, errors.Join(faults...)
}

func (r *Records) addSection(s *ini.Section) error {
	kind, name, ok := strings.Cut(s.Name(), " ")
	if !ok || name == "" {
		return errors.New("want [kind name]")
	}
	switch Kind(kind) {
	case KindRegion:
		return add(s, &r.Regions, Region{Name: name})
	case KindService:
		return add(s, &r.Services, Service{Name: name})
	case KindServer:
		return add(s, &r.Servers, Server{Name: name})
	case KindLink:
		return add(s, &r.Links, Link{Name: name})
	case KindProfile:
		return add(s, &r.Profiles, Profile{Name: name})
	case KindDrain:
		return add(s, &r.Drains, Drain{Name: name})
	case KindMove:
		return add(s, &r.Moves, Move{Name: name})
	}
	return errors.Errorf("unknown kind %q", kind)
}

// add decodes the section over v and appends it.
func add[T named](s *ini.Section, list *[]T, v T) error {
	if err := strictKeys(s, v); err != nil {
		return err
	}
	if err := s.StrictMapTo(&v); err != nil {
		return errors.Wrap(err, "read values")
	}
	*list = append(*list, v)
	return nil
}
