package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/timer"
)

// pending has the commands that are proposed and not applied yet, by subject, so
// that none is proposed twice.
type pending struct {
	subjects map[string]proposal
	digests  map[uint64]string
}

type proposal struct {
	digest uint64
	at     timer.Instant
}

func newPending() *pending {
	return &pending{subjects: make(map[string]proposal), digests: make(map[uint64]string)}
}

// has reports whether a command on the subject is pending.
func (p *pending) has(subject string, now timer.Instant) bool {
	entry, ok := p.subjects[subject]
	return ok && now.SinceMonotonic(entry.at) < proposalTimeout
}

func (p *pending) add(subject string, now timer.Instant, command []byte) {
	digest := hasher.Sum(command)
	p.subjects[subject] = proposal{digest: digest, at: now}
	p.digests[digest] = subject
}

// applied removes a command that was applied.
func (p *pending) applied(command []byte) {
	if len(p.digests) == 0 {
		return
	}
	digest := hasher.Sum(command)
	subject, ok := p.digests[digest]
	if !ok {
		return
	}
	delete(p.digests, digest)
	if p.subjects[subject].digest == digest {
		delete(p.subjects, subject)
	}
}

// batch collects the commands of one tick or query.
type batch struct {
	pending  *pending
	now      timer.Instant
	commands [][]byte
}

func newBatch(pending *pending, now timer.Instant) *batch {
	return &batch{pending: pending, now: now}
}

// has reports whether a command on the subject is pending.
func (b *batch) has(subject string) bool {
	return b.pending.has(subject, b.now)
}

// add proposes a command, unless one on the same subject is pending.
func (b *batch) add(subject string, command assigner.Command) bool {
	if b.has(subject) {
		return false
	}
	command.Time = assigner.Milliseconds(b.now.Wall)
	data, err := assigner.Encode(&command)
	if err != nil {
		return false
	}
	b.pending.add(subject, b.now, data)
	b.commands = append(b.commands, data)
	return true
}
