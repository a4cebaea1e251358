// Command standin-3 runs one case of the review: it starts the processes of the system with stand-ins of
// the store, the platform, replicas and clients, and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held, broken, notRun = 0, 1, 2
)

// longestRun is after what time a case is given up.
const longestRun = 115 * time.Second

// processes are the running processes of the system. None is started once they were ended.
var processes struct {
	sync.Mutex
	ended bool
	list  map[*os.Process]bool
	// folder is the temporary folder.
	folder string
}

// endProcesses ends all processes of the system.
func endProcesses() {
	processes.Lock()
	defer processes.Unlock()
	processes.ended = true
	for p := range processes.list {
		_ = p.Kill()
	}
	if processes.folder != "" {
		_ = os.RemoveAll(processes.folder)
	}
}

// giveUp ends everything on a signal or when the case takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	endProcesses()
	fmt.Fprintln(os.Stderr, "the case was given up")
	os.Exit(notRun)
}

// scenario runs a case and reports whether the rule was broken.
type scenario func(program, record string, trouble bool) (bool, error)

var scenarios = map[string]scenario{"trailers": trailers, "restarted": restarted, "silent": silent, "moved": moved, "gone": gone}

func main() {
	program := flag.String("program", "target/masticbank", "program of the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := scenarios[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(notRun)
	}
	processes.list = map[*os.Process]bool{}
	go giveUp()
	isBroken, err := run(*program, *record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(notRun)
	case isBroken:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}
