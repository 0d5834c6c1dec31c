package daemon

import (
	"os"
	"strings"
)

// bootIDPath is where Linux shows the id of the VM's boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootID returns the id of the VM's boot, which is a new one each time, or "" if the system
// shows none.
func bootID() string {
	data, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}
