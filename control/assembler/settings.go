package assembler

import (
	"fmt"
	"net"
	"strings"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// maxMembers is the largest number of members of a control group.
const maxMembers = 7

// Settings are the settings of a control process, from its YAML file.
type Settings struct {
	// Version is the version of the format, [parser.Version].
	Version int `yaml:"version"`
	// Cluster is the name of the cluster. Processes of others are refused.
	Cluster string `yaml:"cluster"`
	// Name is the name of this process among the members.
	Name string `yaml:"name"`
	// Listen is the address, host:port, at which other processes reach it.
	Listen string `yaml:"listen"`
	// Operator is the address, host:port, of the operator interface.
	Operator string `yaml:"operator"`
	// Data is the path of the data folder, which must exist.
	Data string `yaml:"data"`
	// Members are the founding members. They are read at the first start only.
	Members []messenger.Member `yaml:"members"`
	// Join says that this process joins a group that runs already; it waits to
	// be added by an operator.
	Join bool `yaml:"join"`
	// Seeds are operator addresses of replicas, host:port, for a group that
	// forms by itself; they take the place of name, members and join. All
	// replicas listen at the same port. The seeds found the group when found is
	// true and the data folder is empty, all other replicas join.
	Seeds []string `yaml:"seeds"`
	Found bool     `yaml:"found"`
	// Losses is how many disks may be lost at once. A group that forms by
	// itself grows to twice as many members and one more.
	Losses int `yaml:"losses"`
	// Timing replaces the default times of leases where it is not zero.
	Timing messenger.Timing `yaml:"timing"`
	// Log is the form of log lines, text or json.
	Log logger.Format `yaml:"log"`
}

var _ parser.Checker = (*Settings)(nil)

// Check implements [parser.Checker].
func (s *Settings) Check() (field, reason string) {
	if s.Version != parser.Version {
		return "version", fmt.Sprintf("is %d; it must be there and be %d", s.Version, parser.Version)
	}
	required := []struct{ field, value string }{
		{"cluster", s.Cluster},
		{"name", s.Name + strings.Join(s.Seeds, "")},
		{"data", s.Data},
	}
	for _, r := range required {
		if r.value == "" {
			return r.field, "must not be empty"
		}
	}
	if reason := checkAddress(s.Listen); reason != "" {
		return "listen", reason
	}
	if reason := checkAddress(s.Operator); reason != "" {
		return "operator", reason
	}
	if s.Log != "" && s.Log != logger.FormatText && s.Log != logger.FormatJSON {
		return "log", "must be text or json"
	}
	return s.checkMembers()
}

func (s *Settings) checkMembers() (field, reason string) {
	if len(s.Seeds) > 0 {
		return s.checkSeeds()
	}
	if s.Join {
		if len(s.Members) > 0 {
			return "members", "must be empty when join is true: the group that runs knows its members"
		}
		return "", ""
	}
	if len(s.Members) < 1 || len(s.Members) > maxMembers {
		return "members", fmt.Sprintf("must list 1 to %d members, better an odd number", maxMembers)
	}
	seen := make(map[string]bool)
	for i, member := range s.Members {
		path := fmt.Sprintf("members[%d]", i)
		if member.Name == "" || seen[member.Name] {
			return path + ".name", "must be there and differ from the others"
		}
		if reason := checkAddress(member.Address); reason != "" {
			return path + ".address", reason
		}
		seen[member.Name] = true
	}
	if !seen[s.Name] {
		return "members", fmt.Sprintf("must list this process, %q", s.Name)
	}
	return "", ""
}

func (s *Settings) checkSeeds() (field, reason string) {
	if len(s.Members) > 0 || s.Join || s.Name != "" {
		return "seeds", "must be empty when name, members or join are there"
	}
	for i, seed := range s.Seeds {
		if reason := checkAddress(seed); reason != "" {
			return fmt.Sprintf("seeds[%d]", i), reason
		}
	}
	if s.Losses < 0 || 2*s.Losses+1 > maxMembers {
		return "losses", fmt.Sprintf("must be 0 to %d", (maxMembers-1)/2)
	}
	return "", ""
}

// checkAddress returns what is wrong with a host:port.
func checkAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Sprintf("%q must be host:port", address)
	}
	return ""
}

// member is this process as a member.
func (s *Settings) member() messenger.Member {
	for _, member := range s.Members {
		if member.Name == s.Name {
			return member
		}
	}
	return messenger.Member{Name: s.Name, Address: s.Listen, Operator: "http://" + s.Operator}
}
