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

// flushTimeout limits how long the process waits at exit for its log lines to be
// written, in case standard output is not read.
const flushTimeout = 300 * time.Millisecond

// startLogging makes klog write to standard output through a writer that never blocks. The
// returned function flushes and closes the writer.
func startLogging(level int) (stop func()) {
	w := logs.NewWriter(os.Stdout)
	setLogOutput(w, level)
	return func() {
		klog.Flush()
		w.Close(flushTimeout)
	}
}

// discardLogs discards all log lines.
func discardLogs() { setLogOutput(io.Discard, 0) }

// setLogOutput makes klog write the lines of all severities to w, each line once.
func setLogOutput(w io.Writer, level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "v": strconv.Itoa(level)} {
		_ = flags.Set(name, value)
	}
	klog.SetOutput(w)
}
