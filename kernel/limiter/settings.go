package limiter

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// clientFraction is the part of a VM's memory that all clients of a process may take.
	// The rest is for the state of the process, requests at the backend server, and garbage.
	clientFraction = 0.3
	// connectionFraction is the part of the descriptors that connections of clients may
	// take. The rest is for links, connections to the backend server and files.
	connectionFraction = 0.5
	// heapFraction is the part of a VM's memory that is the memory limit of the garbage
	// collector.
	heapFraction = 0.75
	// bytesPerMegabyte converts Settings.Memory to bytes.
	bytesPerMegabyte = 1 << 20
)

// Settings are what a process may take of its VM.
type Settings struct {
	// Memory is the memory of the VM in MiB; 0 means that of the machine.
	Memory int64 `yaml:"memory"`
	// Descriptors is how many descriptors the process may open; 0 means the limit of the
	// operating system, which is never exceeded.
	Descriptors int `yaml:"descriptors"`
}

// Check returns the first invalid field and what is wrong with it, or nothing.
func (s *Settings) Check() (field, reason string) {
	switch {
	case s.Memory < 0:
		return "memory", "must not be below 0"
	case s.Descriptors < 0:
		return "descriptors", "must not be below 0"
	}
	return "", ""
}

// Share returns the limits for a listener that gets a fraction of what is for clients.
func (s *Settings) Share(fraction float64) Limits {
	return Limits{
		Bytes:       int64(float64(s.memory()) * clientFraction * fraction),
		Connections: max(int(float64(s.descriptors())*connectionFraction*fraction), 1),
	}
}

// HeapLimit returns the memory limit of the garbage collector in bytes, or 0 if Memory is not
// set.
func (s *Settings) HeapLimit() int64 {
	return int64(float64(s.Memory*bytesPerMegabyte) * heapFraction)
}

// memory returns the memory of the VM in bytes.
func (s *Settings) memory() int64 {
	if s.Memory > 0 {
		return s.Memory * bytesPerMegabyte
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

func (s *Settings) descriptors() int {
	var limit unix.Rlimit
	descriptors := s.Descriptors
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if descriptors == 0 || int(limit.Cur) < descriptors {
			descriptors = int(limit.Cur)
		}
	}
	if descriptors == 0 {
		return math.MaxInt32
	}
	return descriptors
}
