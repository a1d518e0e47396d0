package experimenter

import (
	"slices"

	"marigoldhill/bench/launcher"
	"marigoldhill/kernel/messenger"
)

// Variant is a way to route requests that is compared with others.
type Variant string

// The variants. All but the first are baselines.
const (
	// VariantPolicy is the cluster with the profiles of the plan.
	VariantPolicy Variant = "policy"
	// VariantClassless is the cluster with all profiles interactive.
	VariantClassless Variant = "classless"
	// VariantStatic maps keys to servers by a fixed hash and never retries.
	VariantStatic Variant = "static"
	// VariantRoundRobin maps keys to servers by a fixed hash and retries at once on
	// the next server, without a retry budget.
	VariantRoundRobin Variant = "robin"
)

// roundRobinRetries is the number of further servers that VariantRoundRobin tries.
const roundRobinRetries = 10

// Variants lists all variants.
func Variants() []Variant {
	return []Variant{VariantPolicy, VariantClassless, VariantStatic, VariantRoundRobin}
}

// plan returns the plan as the variant uses it.
func (v Variant) plan(plan launcher.Plan) launcher.Plan {
	if v != VariantClassless {
		return plan
	}
	plan.Profiles = slices.Clone(plan.Profiles)
	for i := range plan.Profiles {
		plan.Profiles[i].Class = messenger.ClassInteractive
		plan.Profiles[i].Share = 1
		plan.Profiles[i].Weight = 10
	}
	return plan
}

// isBaseline reports whether the variant uses a baseline proxy instead of routers.
func (v Variant) isBaseline() bool {
	return v == VariantStatic || v == VariantRoundRobin
}
