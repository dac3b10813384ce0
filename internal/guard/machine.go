package guard

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// reservedDivisor is the part of the other descriptors that each listener for the platform may use: a sixteenth, within the bounds below.
	reservedDivisor = 16
	minReserved     = 8
	maxReserved     = 128
	// maxCallers bounds the connections of callers whatever the machine has.
	maxCallers = 65536
)

// Descriptors returns how many connections a listener for callers, and one for the platform, may have on a node with a number of descriptors.
// What remains is for files, searchers and other nodes. A number of 0 stands for the limit of the process.
func Descriptors(limit int) (callers, reserved int) {
	if limit <= 0 {
		limit = processDescriptors()
	}
	connections := max(limit-fileDescriptors, limit/2)
	return min(connections/2, maxCallers), min(max(connections/reservedDivisor, minReserved), maxReserved)
}

func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// MachineMemory returns the memory of the machine in bytes: the least of the limit of the Go runtime (GOMEMLIMIT), that of the control group,
// and the memory that is installed.
func MachineMemory() int64 {
	memory := debug.SetMemoryLimit(-1)
	if limit, ok := readBytes("/sys/fs/cgroup/memory.max", "", 1); ok {
		memory = min(memory, limit)
	}
	if installed, ok := readBytes("/proc/meminfo", "MemTotal:", 1<<10); ok {
		memory = min(memory, installed)
	}
	return memory
}

// readBytes returns the number after a prefix in a file, times a unit, if there is one.
func readBytes(path, prefix string, unit int64) (int64, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, prefix); ok {
			value, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return value * unit, err == nil && value > 0
		}
	}
	return 0, false
}
