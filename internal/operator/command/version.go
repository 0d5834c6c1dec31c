package command

import "runtime/debug"

// version prints the version of the module that the binary was built from.
func (ses *session) version() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	ses.printf("oriolepier %s", version)
	return nil
}
