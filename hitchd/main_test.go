package main

import "testing"

func TestExecuteExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitDone},
		{[]string{"--version"}, exitDone},
		{nil, exitUsage},
		{[]string{"--check"}, exitUsage},
		{[]string{"--no-such-flag"}, exitUsage},
		{[]string{"--config", "/absent.ini"}, exitSettings},
	} {
		if got := execute(c.args); got != c.want {
			t.Errorf("execute(%q): got %d, want %d", c.args, got, c.want)
		}
	}
}
