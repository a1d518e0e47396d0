package messenger

import "time"

// Class is the class of a [Profile].
type Class string

// The classes.
const (
	// ClassInteractive is for requests that a user is waiting for.
	ClassInteractive Class = "interactive"
	// ClassBackground is for requests that yield to interactive ones.
	ClassBackground Class = "background"
)

// Profile defines how one kind of request is handled.
type Profile struct {
	// Name consists of lower-case letters, digits and hyphens.
	Name  string `json:"name" yaml:"name"`
	Class Class  `json:"class" yaml:"class"`
	// Idempotent means that a request can safely run more than once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Deadline is the maximum duration of a request.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// Retries is the maximum number of attempts after the first, 0 to 10.
	Retries int `json:"retries" yaml:"retries"`
	// Queue is the maximum number of requests that wait for a slot at one owner, 0
	// to 10,000.
	Queue int `json:"queue" yaml:"queue"`
	// Share is the maximum fraction of the slots that background requests may use,
	// in (0, 1]. It is 1 for interactive profiles.
	Share float64 `json:"share" yaml:"share"`
	// Weight determines the fraction of the slots in proportion to the other
	// profiles of the class, 1 to 100.
	Weight int `json:"weight" yaml:"weight"`
}

// Route assigns a profile to the requests whose route starts with a prefix. Among
// the routes whose Method is empty or that of the request, the one with the longest
// matching prefix applies; of two with the same prefix, the one with a Method.
type Route struct {
	// Prefix matches whole path segments of the route only.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Method is an HTTP method, or empty for all.
	Method string `json:"method,omitempty" yaml:"method"`
	// Profile is the name of a profile.
	Profile string `json:"profile" yaml:"profile"`
}

// Service is a service that callers name in their requests.
type Service struct {
	// Name consists of lower-case letters, digits and hyphens.
	Name string `json:"name" yaml:"name"`
	// Shards is the number of shards, 1 to 65,536. It never changes.
	Shards uint32 `json:"shards" yaml:"shards"`
	// Routes assigns the profiles. One route with an empty prefix and no method is
	// required.
	Routes []Route `json:"routes" yaml:"routes"`
	// Unavailable, Imbalance and Churn are the weights of the three quantities that
	// balancing minimizes, each 0 to 100.
	Unavailable int `json:"unavailable" yaml:"unavailable"`
	Imbalance   int `json:"imbalance" yaml:"imbalance"`
	Churn       int `json:"churn" yaml:"churn"`
	// Recorders is the number of other routers that store the records of
	// non-idempotent requests, 0 to 4. The default is 2.
	Recorders int `json:"recorders" yaml:"recorders"`
	// Scarce determines whether non-idempotent requests are refused or accepted
	// while there are fewer recorders than Recorders: "refuse" (the default) or
	// "accept".
	Scarce string `json:"scarce" yaml:"scarce"`
	// Retention is how long the record of a non-idempotent request is kept.
	// The default is 10 minutes.
	Retention time.Duration `json:"retention" yaml:"retention"`
}
