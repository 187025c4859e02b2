// Command standtwo plays one case of the review: it starts hosts of the system as separate
// processes beside stand-ins of the store, the servers and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(play())
}

// play returns 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
func play() (code int) {
	if len(os.Args) != 3 {
		fmt.Println("usage: standtwo CASE FOLDER")
		return 2
	}
	defer func() {
		if e := recover(); e != nil {
			fmt.Println("could not run:", e)
			code = 2
		}
	}()
	// The hosts are in the group of this process, which run.sh ends.
	if err := syscall.Setpgid(0, 0); err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	w := newWorld(os.Args[2])
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; w.end(); os.Exit(2) }()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*world, bool) bool{"lost": runLost, "fatal": runFatal, "caller": runCaller}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Println("no such case")
		return 2
	}
	if f(w, trouble) {
		return 1
	}
	return 0
}
