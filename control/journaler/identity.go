package journaler

import (
	"path/filepath"
	"slices"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/messenger"
)

const identityName = "identity"

// Identity identifies the replica that a data directory belongs to. It is written
// once, when the directory is first used.
type Identity struct {
	Cluster string
	Name    string
	// Incarnation is a random number of this data directory. A replica that lost
	// its directory gets a new one, so that it is never mistaken for the
	// former replica.
	Incarnation uint64
	// Founders are the initial members of the group. It is empty for a replica
	// that joined later.
	Founders []messenger.Member
	// Join is set if the replica joined later.
	Join bool
}

// initialize creates the log of a new replica and then the identity file. In
// this order a directory with an identity always has a log, so a replica that lost
// its log is never mistaken for a new one.
func (j *Journal) initialize(names []string, configured Identity) (*Stored, error) {
	if slices.ContainsFunc(names, isStateFile) && !j.isInitialState(names) {
		return nil, Error.New("%w: %s is missing, but there is a log "+
			"(restore the whole directory, or empty it and join as a new member)",
			ErrCorrupt, filepath.Join(j.directory, identityName))
	}
	if err := j.startLog(&Record{Save: &elector.HardState{}}); err != nil {
		return nil, err
	}
	if err := j.writeFile(identityName, &configured); err != nil {
		return nil, err
	}
	return &Stored{Identity: configured}, nil
}

// isInitialState reports whether the directory holds no state but the first log
// file with its initial record, which is left by a crash before the identity
// was written.
func (j *Journal) isInitialState(names []string) bool {
	first := numberedName(logPrefix, 1)
	other := func(name string) bool {
		return isStateFile(name) && name != first && name != first+temporarySuffix
	}
	if slices.ContainsFunc(names, other) {
		return false
	}
	if !slices.Contains(names, first) {
		return true
	}
	data, err := j.disk.Read(filepath.Join(j.directory, first))
	if err != nil {
		return false
	}
	log, err := ReadLog(data)
	if err != nil || len(log.Records) != 1 || log.ValidBytes != len(data) {
		return false
	}
	record := log.Records[0]
	return record.Save != nil && *record.Save == elector.HardState{} && len(record.Entries) == 0
}

// ReadIdentity reads the identity of a data directory. It returns nil if the
// directory has none yet.
func ReadIdentity(disk Disk, directory string) (*Identity, error) {
	names, err := disk.List(directory)
	if err != nil {
		return nil, Error.New("%w: %s (create it, or mount the disk that holds it): %w", ErrDirectoryMissing, directory, err)
	}
	if !slices.Contains(names, identityName) {
		return nil, nil
	}
	return readIdentity(disk, directory)
}

func readIdentity(disk Disk, directory string) (*Identity, error) {
	path := filepath.Join(directory, identityName)
	data, err := disk.Read(path)
	if err != nil {
		return nil, Error.New("reading %s: %w", path, err)
	}
	identity := &Identity{}
	if err := decodeFile(data, identity); err != nil {
		return nil, Error.New("%s (empty the directory and join as a new member): %w", path, err)
	}
	return identity, nil
}

// loadIdentity reads the identity and checks that it matches the settings.
func (j *Journal) loadIdentity(configured Identity) (*Identity, error) {
	identity, err := readIdentity(j.disk, j.directory)
	if err != nil {
		return nil, err
	}
	if identity.Cluster != configured.Cluster || identity.Name != configured.Name {
		return nil, Error.New("%w: %s belongs to replica %q in cluster %q, the settings are for %q in %q",
			ErrIdentityMismatch, j.directory, identity.Name, identity.Cluster, configured.Name, configured.Cluster)
	}
	return identity, nil
}

// decodeFile decodes a file that consists of one record.
func decodeFile(data []byte, value any) error {
	_, payload, valid := parseRecord(data)
	if !valid || len(payload)+headerBytes != len(data) {
		return Error.New("%w: wrong length or checksum", ErrCorrupt)
	}
	if err := decoder.Unmarshal(payload, value); err != nil {
		return Error.New("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// writeFile writes a file that consists of one record. After a crash the file
// is either complete or absent.
func (j *Journal) writeFile(name string, value any) error {
	data, err := encodeRecord(1, value)
	if err != nil {
		return err
	}
	file, err := j.createFile(name, data)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return writeError(filepath.Join(j.directory, name), err)
	}
	return nil
}

// createFile writes and syncs a new file under a temporary name, renames it and
// leaves it open.
func (j *Journal) createFile(name string, data []byte) (File, error) {
	path := filepath.Join(j.directory, name)
	file, err := j.disk.Create(path + temporarySuffix)
	if err != nil {
		return nil, writeError(path, err)
	}
	if err := j.commitFile(file, path, data); err != nil {
		_ = file.Close()
		return nil, writeError(path, err)
	}
	return file, nil
}

func (j *Journal) commitFile(file File, path string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := j.disk.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return j.disk.SyncDir(j.directory)
}
