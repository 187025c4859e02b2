package client

import (
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

func profileCommands(s *session) []Command {
	return []Command{
		{"list", "list profiles and the services that picked them", &profileList{session: s}},
		{"show", "show a profile", &profileShow{session: s}},
		{"diff", "show what a file of profiles would change", &profileDiff{session: s}},
		{"apply", "apply a file of profiles", &profileApply{changeOptions: changeOptions{session: s}}},
		{"history", "show who changed profiles, when and why", &profileHistory{session: s}},
	}
}

type profileList struct{ session *session }

// Execute lists the profiles with the services that use them.
func (c *profileList) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.session.print(a.Records.Profiles, func() {
		rows := [][]string{{"PROFILE", "QUEUE MS", "RESERVE", "SHIFT/S", "SHIFT MBIT/S", "SERVICES"}}
		for _, p := range a.Records.Profiles {
			services := ""
			for _, v := range a.Records.Services {
				if v.Profile == p.Name {
					services += v.Name + " "
				}
			}
			rows = append(rows, []string{p.Name, strconv.Itoa(p.QueueWaitMs), number(p.ReserveShare), number(p.ShiftRate), number(p.ShiftMbps), services})
		}
		c.session.table(rows...)
	})
}

// number formats a number with as few digits as represent it exactly.
func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

type nameArgument struct {
	Name string `positional-arg-name:"NAME" required:"true"`
}

type profileShow struct {
	session *session
	Args    nameArgument `positional-args:"true"`
}

// Execute prints one profile, always as JSON.
func (c *profileShow) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	for _, p := range a.Records.Profiles {
		if p.Name == c.Args.Name {
			c.session.JSON = true
			return c.session.print(p, nil)
		}
	}
	return withExitCode(ExitUsage, errors.Errorf("no profile %s", c.Args.Name))
}

// parseProfiles parses a file of records, which may hold profiles only.
func parseProfiles(file string) (config.Records, error) {
	r, err := parseFile(file)
	if err != nil {
		return r, err
	}
	if len(r.Profiles) == 0 || len(r.Regions)+len(r.Services)+len(r.Servers)+len(r.Links)+len(r.Drains)+len(r.Moves)+len(r.Routes) > 0 {
		return r, withExitCode(ExitUsage, errors.Errorf("file %s: want sections [profile name] only", file))
	}
	return r, nil
}

type profileDiff struct {
	session *session
	File    string `long:"file" short:"f" description:"file of profiles in INI" required:"true" value-name:"FILE"`
}

// Execute prints what the file would change, and changes nothing.
func (c *profileDiff) Execute([]string) error {
	r, err := parseProfiles(c.File)
	if err != nil {
		return err
	}
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.session.dryRun(a.Revision, r)
}

type profileApply struct {
	changeOptions
	File string `long:"file" short:"f" description:"file of profiles in INI" required:"true" value-name:"FILE"`
}

// Execute applies the file's profiles to the current revision.
func (c *profileApply) Execute([]string) error {
	r, err := parseProfiles(c.File)
	if err != nil {
		return err
	}
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.send(a.Revision, r, nil)
}

type profileHistory struct {
	session *session
	Args    struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute prints the changes of one profile or of all, newest first.
func (c *profileHistory) Execute([]string) error {
	changes, err := c.session.history(maxHistory)
	if err != nil {
		return err
	}
	changes = slices.DeleteFunc(changes, func(ch config.Change) bool { return !changesProfile(ch, c.Args.Name) })
	return c.session.print(changes, func() { c.session.printHistory(changes) })
}

// changesProfile reports whether the change concerns the profile, or any one when
// the name is empty.
func changesProfile(ch config.Change, name string) bool {
	for _, p := range ch.Puts.Profiles {
		if name == "" || p.Name == name {
			return true
		}
	}
	return slices.ContainsFunc(ch.Deletes, func(r config.Ref) bool {
		return r.Kind == config.KindProfile && (name == "" || r.Name == name)
	})
}
