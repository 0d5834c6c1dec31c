package command

import "runtime/debug"

// version prints the version that the binary was built from.
func (ses *session) version() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	ses.sayf("oriolepier %s", version)
	return nil
}
