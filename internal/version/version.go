// Package version names the release.
package version

// Version is the release; a build may set it by -ldflags.
var Version = "0.1.0-dev"
