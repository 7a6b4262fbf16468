// Package version holds the version of the release.
package version

// Version is the version of the release. A build can set it with -ldflags.
var Version = "0.1.0-dev"
