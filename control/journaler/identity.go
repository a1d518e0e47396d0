package journaler

import (
	"path/filepath"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/messenger"
)

const identityName = "identity"

// Identity says whose data folder it is. It is written once, when the folder is
// first used.
type Identity struct {
	Cluster string
	Name    string
	// Incarnation is a random number of this data folder. A replica that lost
	// its folder gets another, so that it is never taken for the old one.
	Incarnation uint64
	// Founders are the members that founded the group; empty for a replica that
	// joined later.
	Founders []messenger.Member
	// Join says that the replica joined later.
	Join bool
}

// found starts the log of a new replica and then gives the folder its identity.
// In this order a folder with an identity always has a log, so that one whose log
// was lost is never taken for a new one.
func (j *Journal) found(names []string, wanted Identity) (*Stored, error) {
	if slices.ContainsFunc(names, isState) && !j.isUnused(names) {
		return nil, Error.New("%w: %s is missing, but the log is there "+
			"(restore the whole folder, or empty it and join as a new member)",
			ErrCorrupt, filepath.Join(j.folder, identityName))
	}
	if err := j.startLog(&Record{Save: &elector.HardState{}}); err != nil {
		return nil, err
	}
	if err := j.writeFile(identityName, &wanted); err != nil {
		return nil, err
	}
	return &Stored{Identity: wanted}, nil
}

// isUnused reports whether all that a folder holds is the first log file as it
// was started, which a crash before the identity was written leaves behind.
func (j *Journal) isUnused(names []string) bool {
	first := numbered(logPrefix, 1)
	other := func(name string) bool {
		return isState(name) && name != first && name != first+unfinished
	}
	if slices.ContainsFunc(names, other) {
		return false
	}
	if !slices.Contains(names, first) {
		return true
	}
	data, err := j.disk.Read(filepath.Join(j.folder, first))
	if err != nil {
		return false
	}
	log, err := ReadLog(data)
	if err != nil || len(log.Records) != 1 || log.Length != len(data) {
		return false
	}
	record := log.Records[0]
	return record.Save != nil && *record.Save == elector.HardState{} && len(record.Entries) == 0
}

// FindIdentity reads the identity of a data folder, nil when it has none yet.
func FindIdentity(disk Disk, folder string) (*Identity, error) {
	names, err := disk.List(folder)
	if err != nil {
		return nil, Error.New("%w: %s (create it, or mount the disk that holds it): %w", ErrFolder, folder, err)
	}
	if !slices.Contains(names, identityName) {
		return nil, nil
	}
	return readIdentity(disk, folder)
}

func readIdentity(disk Disk, folder string) (*Identity, error) {
	path := filepath.Join(folder, identityName)
	data, err := disk.Read(path)
	if err != nil {
		return nil, Error.New("reading %s: %w", path, err)
	}
	identity := &Identity{}
	if err := decodeFile(data, identity); err != nil {
		return nil, Error.New("%s (empty the folder and join as a new member): %w", path, err)
	}
	return identity, nil
}

// loadIdentity reads the identity.
func (j *Journal) loadIdentity(wanted Identity) (*Identity, error) {
	identity, err := readIdentity(j.disk, j.folder)
	if err != nil {
		return nil, err
	}
	if identity.Cluster != wanted.Cluster || identity.Name != wanted.Name {
		return nil, Error.New("%w: %s is of replica %q in cluster %q, the settings say %q in %q",
			ErrIdentity, j.folder, identity.Name, identity.Cluster, wanted.Name, wanted.Cluster)
	}
	return identity, nil
}

// decodeFile decodes a file that holds one record.
func decodeFile(data []byte, value any) error {
	_, payload, whole := splitRecord(data)
	if !whole || len(payload)+headerLength != len(data) {
		return Error.New("%w: wrong length or checksum", ErrCorrupt)
	}
	if err := msgpack.Unmarshal(payload, value); err != nil {
		return Error.New("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// writeFile writes a file with one record, so that after a crash it is there
// whole or not at all.
func (j *Journal) writeFile(name string, value any) error {
	data, err := encodeRecord(1, value)
	if err != nil {
		return err
	}
	file, err := j.createWith(name, data)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return writeError(filepath.Join(j.folder, name), err)
	}
	return nil
}

// createWith writes and syncs a new file under another name, gives it its name
// and leaves it open.
func (j *Journal) createWith(name string, data []byte) (File, error) {
	path := filepath.Join(j.folder, name)
	file, err := j.disk.Create(path + unfinished)
	if err != nil {
		return nil, writeError(path, err)
	}
	if err := j.finish(file, path, data); err != nil {
		_ = file.Close()
		return nil, writeError(path, err)
	}
	return file, nil
}

func (j *Journal) finish(file File, path string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := j.disk.Rename(path+unfinished, path); err != nil {
		return err
	}
	return j.disk.SyncFolder(j.folder)
}
