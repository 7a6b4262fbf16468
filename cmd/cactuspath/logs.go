package main

import (
	"flag"
	"io"
	"os"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/internal/logs"
)

// flushTime bounds the wait for an output that is not read, at the end.
const flushTime = 300 * time.Millisecond

// startLogs has klog write to standard output through a writer that never
// blocks; the function it returns writes what waits.
func startLogs(level int) (stop func()) {
	w := logs.NewWriter(os.Stdout)
	klogTo(w, level)
	return func() {
		klog.Flush()
		w.Close(flushTime)
	}
}

func silenceLogs() { klogTo(io.Discard, 0) }

// klogTo sends the lines of every severity to one place, once.
func klogTo(w io.Writer, level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "v": strconv.Itoa(level)} {
		_ = flags.Set(name, value)
	}
	klog.SetOutput(w)
}
