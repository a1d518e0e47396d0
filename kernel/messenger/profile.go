package messenger

import "time"

// Class is the class of a profile.
type Class string

// The classes.
const (
	// ClassInteractive is work that a person waits for.
	ClassInteractive Class = "interactive"
	// ClassBackground is work that gives way to interactive work.
	ClassBackground Class = "background"
)

// Profile describes how one kind of work is treated.
type Profile struct {
	// Name is one word of lower-case letters, digits and hyphens.
	Name string `json:"name" yaml:"name"`
	// Class is interactive or background.
	Class Class `json:"class" yaml:"class"`
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Deadline is the longest that a request may take.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// Retries is the most attempts after the first, 0 to 10.
	Retries int `json:"retries" yaml:"retries"`
	// Queue is the most requests that wait for a slot at one owner, 0 to
	// 10,000.
	Queue int `json:"queue" yaml:"queue"`
	// Share is the largest part of the slots that background work may hold, in
	// (0, 1]. Interactive profiles leave it at 1.
	Share float64 `json:"share" yaml:"share"`
	// Weight is the part of the slots in proportion to other profiles of the
	// class, 1 to 100.
	Weight int `json:"weight" yaml:"weight"`
}

// Route names the profile for requests whose route starts with a prefix. The
// longest prefix that matches, of the routes whose Method is empty or that of
// the request, decides; of two equal ones that with a Method.
type Route struct {
	// Prefix is compared with whole path segments of the route.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Method is an HTTP method, or empty for all.
	Method string `json:"method,omitempty" yaml:"method"`
	// Profile is the name of a profile.
	Profile string `json:"profile" yaml:"profile"`
}

// Service describes one service that callers name in their requests.
type Service struct {
	// Name is one word of lower-case letters, digits and hyphens.
	Name string `json:"name" yaml:"name"`
	// Shards is the number of shards, 1 to 65,536. It never changes.
	Shards uint32 `json:"shards" yaml:"shards"`
	// Routes names the profiles. One route with an empty prefix is required.
	Routes []Route `json:"routes" yaml:"routes"`
	// Unavailable, Imbalance and Churn weigh the three measures against each
	// other, each 0 to 100.
	Unavailable int `json:"unavailable" yaml:"unavailable"`
	Imbalance   int `json:"imbalance" yaml:"imbalance"`
	Churn       int `json:"churn" yaml:"churn"`
	// Recorders is the number of recorder peers for non-idempotent work, 0 to
	// 4. The default is 2.
	Recorders int `json:"recorders" yaml:"recorders"`
	// Scarce says what happens to non-idempotent work when there are fewer
	// routers than Recorders asks for: "refuse" (the default) or "accept".
	Scarce string `json:"scarce" yaml:"scarce"`
	// Retention is how long the record of a non-idempotent request is kept.
	// The default is 10 minutes.
	Retention time.Duration `json:"retention" yaml:"retention"`
}
