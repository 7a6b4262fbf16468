package resources

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// cgroupFiles hold the memory limit of the cgroup of a process, in bytes.
var cgroupFiles = []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}

// hostMemory returns the memory that the operating system has for the process, in bytes.
func hostMemory() int64 {
	memory := int64(math.MaxInt64)
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	for _, file := range cgroupFiles {
		if limit, ok := readBytes(file); ok {
			memory = min(memory, limit)
		}
	}
	return memory
}

func readBytes(file string) (int64, bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	// A cgroup without a limit has the word "max".
	n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return n, err == nil && n > 0
}

// hostDescriptors returns the number of descriptors that the process may open.
func hostDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// heapShare is the part of the memory from which on garbage is collected more often. The rest is for
// the program itself, for what is allocated while a collection runs, and for what the kernel holds for
// connections.
const heapShare = 0.65

// LimitHeap makes the runtime collect garbage more often before the process exceeds the given memory
// in MB, or that of its host if it is 0.
func LimitHeap(memoryMB int) {
	debug.SetMemoryLimit(int64(heapShare * float64(memoryBytes(memoryMB))))
}

func memoryBytes(memoryMB int) int64 {
	if memoryMB > 0 {
		return int64(memoryMB) << 20
	}
	return hostMemory()
}
