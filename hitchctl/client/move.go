package client

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

func moveCommands(s *session) []Command {
	return []Command{
		{"declare", "move a share of a service's traffic to another region, in steps", &moveDeclare{changeOptions: changeOptions{session: s}}},
		{"list", "list moves", &moveList{session: s}},
		{"pause", "hold a move at its present step", &movePause{changeOptions: changeOptions{session: s}, paused: true}},
		{"resume", "let a paused move go on", &movePause{changeOptions: changeOptions{session: s}}},
		{"cancel", "end a move; its traffic goes back", &removeCommand{changeOptions: changeOptions{session: s}, kind: config.KindMove}},
	}
}

type moveDeclare struct {
	changeOptions
	Service   string        `long:"service" description:"service whose traffic moves" required:"true" value-name:"NAME"`
	From      string        `long:"from" description:"region that the traffic leaves" required:"true" value-name:"NAME"`
	To        string        `long:"to" description:"region that the traffic goes to" required:"true" value-name:"NAME"`
	Share     float64       `long:"share" description:"part that moves in the end, 0 to 1" required:"true" value-name:"N"`
	StepShare float64       `long:"step-share" description:"part that each step adds" default:"0.1" value-name:"N"`
	Step      time.Duration `long:"step" description:"least time between two steps" default:"30s" value-name:"TIME"`
	CapRate   float64       `long:"cap-rate" description:"cap of the moved traffic in requests/s" required:"true" value-name:"N"`
	CapMbps   float64       `long:"cap-mbps" description:"cap of the moved traffic in Mbit/s" required:"true" value-name:"N"`
	Args      nameArgument  `positional-args:"true"`
}

// Execute declares the move. A move of that name must not exist, unless
// --write-id repeats its declaration.
func (c *moveDeclare) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	if _, ok := findMove(a, c.Args.Name); ok && c.WriteID == "" {
		return withExitCode(ExitConflict, errors.Errorf("move %s is declared already; choose another name or cancel it first", c.Args.Name))
	}
	return c.send(a.Revision, config.Records{Moves: []config.Move{{
		Name: c.Args.Name, Service: c.Service, From: c.From, To: c.To, Share: c.Share, StepShare: c.StepShare,
		StepMs: int(c.Step.Milliseconds()), CapRate: c.CapRate, CapMbps: c.CapMbps,
	}}}, nil)
}

func findMove(a configResponse, name string) (config.Move, bool) {
	i := slices.IndexFunc(a.Records.Moves, func(m config.Move) bool { return m.Name == name })
	if i < 0 {
		return config.Move{}, false
	}
	return a.Records.Moves[i], true
}

type moveList struct{ session *session }

// Execute lists the moves.
func (c *moveList) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.session.print(a.Records.Moves, func() { c.session.printMoves(a.Records.Moves) })
}

type movePause struct {
	changeOptions
	paused bool
	Args   nameArgument `positional-args:"true"`
}

// Execute pauses or resumes the move.
func (c *movePause) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	m, ok := findMove(a, c.Args.Name)
	if !ok {
		return withExitCode(ExitRefused, fmt.Errorf("no move %s; it may have been cancelled", c.Args.Name))
	}
	m.Paused = c.paused
	return c.send(a.Revision, config.Records{Moves: []config.Move{m}}, nil)
}
