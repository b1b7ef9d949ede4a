package bench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// Machine describes the machine that a run took place on.
type Machine struct {
	Cores     int    `json:"cores"`
	Processor string `json:"processor"`
	MemoryKiB int64  `json:"memory_kib"`
	Kernel    string `json:"kernel"`
	Go        string `json:"go"`
}

// ticksPerSecond is the unit of processor times in /proc (USER_HZ).
const ticksPerSecond = 100

func describeMachine() Machine {
	return Machine{
		Cores: runtime.NumCPU(), Processor: fieldOf("/proc/cpuinfo", "model name"),
		MemoryKiB: parseKibibytes(fieldOf("/proc/meminfo", "MemTotal")),
		Kernel:    readText("/proc/sys/kernel/osrelease"), Go: runtime.Version(),
	}
}

func readText(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(content))
}

// fieldOf returns the value of the first line "name: value" of a file.
func fieldOf(path, name string) string {
	for line := range strings.Lines(readText(path)) {
		key, value, found := strings.Cut(line, ":")
		if found && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func parseKibibytes(text string) int64 {
	n, _ := strconv.ParseInt(strings.TrimSuffix(text, " kB"), 10, 64)
	return n
}

func loadAverage() string { return readText("/proc/loadavg") }

// busyPercent measures for the window how much processor time all processes of
// the machine use, in percent of one core.
func busyPercent(window time.Duration) float64 {
	before := busyTicks()
	time.Sleep(window)
	return float64(busyTicks()-before) / ticksPerSecond / window.Seconds() * 100
}

// busyTicks returns the machine's processor time, in ticks, without the idle and
// I/O wait times, which are the fourth and fifth numbers of the first line.
func busyTicks() int64 {
	line, _, _ := strings.Cut(readText("/proc/stat"), "\n")
	var busy int64
	for i, field := range strings.Fields(line) {
		n, err := strconv.ParseInt(field, 10, 64)
		if err == nil && i != 4 && i != 5 {
			busy += n
		}
	}
	return busy
}

// Usage holds the processor time that a process has used since its start, and
// its resident memory.
type Usage struct {
	CPU         time.Duration `json:"cpu_ns"`
	ResidentKiB int64         `json:"resident_kib"`
}

// usageOf reads the processor time and the resident memory of a process. Both
// are zero for a process that has exited.
func usageOf(pid int) Usage {
	return Usage{
		CPU:         parseCPUTime(readText(fmt.Sprintf("/proc/%d/stat", pid))),
		ResidentKiB: parseKibibytes(fieldOf(fmt.Sprintf("/proc/%d/status", pid), "VmRSS")),
	}
}

// parseCPUTime returns the sum of user and system time in a line of /proc/PID/stat.
func parseCPUTime(stat string) time.Duration {
	// The name, in parentheses, may contain spaces and parentheses.
	end := strings.LastIndex(stat, ") ")
	fields := strings.Fields(stat[end+1:])
	// utime and stime are fields 14 and 15 of the line, counted from 1; the
	// first field after the name is field 3.
	const utime, stime = 14 - 3, 15 - 3
	if end < 0 || len(fields) <= stime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
