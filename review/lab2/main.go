//go:build review2

// Lab2 holds the stand-ins of the second review: the platform's operator, clients and servers as its
// pages describe them, and the cases that use them. It starts the project's programs as processes.
//
// Usage: lab2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 it runs without the disruption.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesText []byte

// names are the header fields, paths and options of the platform.
var names struct {
	RequestID, DeadlineMs, ExpectInstance, InstanceID, Stamp, NotExecuted, CallerService, Load, Leaving, Account, AccountsTable string

	InstancesPath, ConfigPath, ReadyPath string

	Options []string
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// lab is what a case uses.
type lab struct {
	*record
	*deployment
	trouble bool
}

// cases run a case and report whether the rule was broken.
var cases = map[string]func(*lab) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if err := json.Unmarshal(namesText, &names); err != nil || len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD", err)
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	l := &lab{record: &record{file: file, begin: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	l.log("case %s, disruption %t", os.Args[1], l.trouble)
	l.deployment, err = newDeployment("target/cactuspath", l.log)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		l.stop(false)
		os.Exit(2)
	}()
	if l.deployment != nil {
		defer func() { l.stop(os.Getenv("KEEP") != "") }()
	}
	var broken bool
	if err == nil {
		broken, err = cases[os.Args[1]](l)
	}
	switch {
	case err != nil:
		l.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		l.log("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	l.log("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
