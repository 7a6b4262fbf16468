package main

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

func silenceLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("alsologtostderr", "false")
	klog.SetOutput(io.Discard)
}
