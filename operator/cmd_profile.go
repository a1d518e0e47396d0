package main

import (
	"net/url"
	"strconv"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
)

const pathProfiles = "/v1/profiles"

func cmdProfile() command {
	return command{name: "profile", help: "List and change profiles.", action: &profileGroup{}}
}

// profileGroup holds the subcommands of profile, one per file.
type profileGroup struct {
	List   profileList   `cmd:"" help:"List all profiles."`
	Show   profileShow   `cmd:"" help:"Show one profile as YAML with its revision."`
	Apply  profileApply  `cmd:"" help:"Create a profile from a YAML file, or change it."`
	Diff   profileDiff   `cmd:"" help:"Compare a YAML file with the current profile."`
	Remove profileRemove `cmd:"" help:"Remove a profile that no service names."`
}

func profilePath(name string) string {
	return pathProfiles + "/" + url.PathEscape(name)
}

func profileColumns() []printer.Column[messenger.VersionedValue[messenger.Profile]] {
	type row = messenger.VersionedValue[messenger.Profile]
	return []printer.Column[row]{
		{Title: "profile", Cell: func(r row) string { return r.Value.Name }},
		{Title: "revision", Cell: func(r row) string { return strconv.FormatUint(r.Revision, 10) }},
		{Title: "class", Cell: func(r row) string { return string(r.Value.Class) }},
		{Title: "idempotent", Cell: func(r row) string { return strconv.FormatBool(r.Value.Idempotent) }},
		{Title: "deadline", Cell: func(r row) string { return printer.Duration(r.Value.Deadline) }},
		{Title: "retries", Cell: func(r row) string { return strconv.Itoa(r.Value.Retries) }},
		{Title: "queue", Cell: func(r row) string { return strconv.Itoa(r.Value.Queue) }},
		{Title: "share", Cell: func(r row) string { return strconv.FormatFloat(r.Value.Share, 'g', -1, 64) }},
		{Title: "weight", Cell: func(r row) string { return strconv.Itoa(r.Value.Weight) }},
	}
}
