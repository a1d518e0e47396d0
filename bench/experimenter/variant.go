package experimenter

import (
	"slices"

	"marigoldhill/bench/launcher"
	"marigoldhill/kernel/messenger"
)

// Variant is a way to serve callers.
type Variant string

// The variants. All but the first are baselines.
const (
	// VariantPolicy is the project as it is.
	VariantPolicy Variant = "policy"
	// VariantClassless is the project with all profiles interactive.
	VariantClassless Variant = "classless"
	// VariantStatic places keys by a fixed hash and never retries.
	VariantStatic Variant = "static"
	// VariantRobin places keys by a fixed hash and sends what was not answered to
	// the next server at once, without a budget.
	VariantRobin Variant = "robin"
)

// robinRetries is how many further servers VariantRobin tries.
const robinRetries = 10

// Variants lists all variants.
func Variants() []Variant {
	return []Variant{VariantPolicy, VariantClassless, VariantStatic, VariantRobin}
}

// plan changes a plan to that of a variant.
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

// isBaseline reports whether the variant runs without the project's routers.
func (v Variant) isBaseline() bool {
	return v == VariantStatic || v == VariantRobin
}
