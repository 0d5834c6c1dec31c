package daemon

import (
	"os"
	"strings"
)

// bootIDPath is where Linux shows a random name of the boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// machineBoot returns a name of this machine that changes with each boot, or "" if the
// system shows none.
func machineBoot() string {
	data, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}
