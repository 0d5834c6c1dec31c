package command

import (
	"runtime/debug"

	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Prints the module's version, or the revision that it was built from.
func (ses *session) version() int {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		ses.sayf("oriolepier (unknown version)")
		return option.ExitDone
	}
	revision := ""
	for _, item := range info.Settings {
		if item.Key == "vcs.revision" {
			revision = " " + item.Value
		}
	}
	ses.sayf("oriolepier %s%s %s", info.Main.Version, revision, info.GoVersion)
	return option.ExitDone
}
