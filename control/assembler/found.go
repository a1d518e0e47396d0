package assembler

import (
	"fmt"
	"net"
	"slices"

	"marigoldhill/control/journaler"
	"marigoldhill/kernel/messenger"
)

// settle gives a replica of a group that forms by itself its name and its part
// in the founding. A data folder that has an identity decides; an empty one
// founds the group only when its replica is a seed of a first start, and joins
// otherwise. A joiner has a name of its own, so a replica that lost its disk is
// never taken for the one that it was.
func (s *Settings) settle(disk journaler.Disk) error {
	if len(s.Seeds) == 0 {
		return nil
	}
	identity, err := journaler.FindIdentity(disk, s.Data)
	if err != nil {
		return Error.New("looking for the identity: %w", err)
	}
	switch {
	case identity != nil:
		s.Name, s.Members, s.Join = identity.Name, identity.Founders, identity.Join
	case s.Found && slices.Contains(s.Seeds, s.Operator):
		s.Name = s.Listen
		for _, seed := range s.Seeds {
			s.Members = append(s.Members, messenger.Member{
				Name:     s.peerOf(seed),
				Address:  s.peerOf(seed),
				Operator: "http://" + seed,
			})
		}
	default:
		s.Name = fmt.Sprintf("%s-%x", s.Listen, randomNumber())
		s.Join = true
	}
	return nil
}

// peerOf is where the replica with an operator address is reached by others.
func (s *Settings) peerOf(operator string) string {
	host, _, err := net.SplitHostPort(operator)
	_, port, err2 := net.SplitHostPort(s.Listen)
	if err != nil || err2 != nil {
		return operator // Check has refused it
	}
	return net.JoinHostPort(host, port)
}

// peers are the addresses of the seeds for other processes.
func (s *Settings) peers() []string {
	var peers []string
	for _, seed := range s.Seeds {
		peers = append(peers, s.peerOf(seed))
	}
	return peers
}
