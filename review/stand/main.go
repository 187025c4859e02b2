// Command stand runs the cases of the review that are scripts: real processes of hitchd on
// loopback addresses, with stand-ins of the store, the servers and the clients. It exits with
// 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up; it ends all processes then.
const longest = 115 * time.Second

var cases = map[string]func(hitchd, record string, trouble bool) (broken bool, err error){
	"early":       early,
	"cut":         cut,
	"foreign":     foreign,
	"poisonKill":  poisonKill,
	"poisonQuery": poisonQuery,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE HITCHD RECORD")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		fmt.Fprintln(os.Stderr, "could not run: given up")
		killAll()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
