// Command review3 runs the script cases of review 3. Each starts hitchd with the command of the
// deploy file, and stand-ins for clients, servers and the platform's store in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case, the exit codes of a script.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// cases run by name, with the folder for the record and one for the hosts' files.
var cases = map[string]func(r *record, dir string, trouble bool) int{
	"silent-crash": silentCrash, "late-crash": lateCrash, "idle": idle, "planned-stop": plannedStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(couldnt)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(*record, string, bool) int, folder string) int {
	r, err := newRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("hosts' files in", dir)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- f(r, dir, os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-result:
		return code
	case <-stop:
		r.tell("interrupted")
		return couldnt
	}
}
