//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const longestRun = 105 * time.Second

// A case returns a sentence on what broke the rule, or "" if the rule held.
var cases = map[string]func(*lab) (string, error){
	"stop-pipelined": stopPipelined,
	"stop-busy":      stopBusy,
	"broken-off":     brokenOff,
	"frozen":         frozenMidAnswer,
	"stress":         stress,
	"leaving":        leavingRestart,
	"readded":        readded,
	"control":        controlStress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	// No run lasts longer, and none leaves processes behind.
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		l.say("could not run: stopped or too long")
		l.close()
		os.Exit(2)
	}()
	broken, err := cases[name](l)
	switch {
	case err != nil:
		l.say("could not run: %v", err)
		return 2
	case broken != "":
		l.say("RULE BROKEN: %s", broken)
		return 1
	}
	l.say("the rule held")
	return 0
}
