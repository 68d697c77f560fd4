// Package plan defines the configuration document that operators maintain: the plan of each
// customer, the limits of each plan, and the availability zones under evacuation. They share one
// generation.
package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
)

// Bounds of the document.
const (
	MaxCustomers = 10_000
	MaxPlans     = 100
	MaxPriority  = 9
	MaxZones     = 100
)

// CustomerPlan assigns a customer to a plan.
type CustomerPlan struct {
	Customer string `yaml:"customer" json:"customer" msgpack:"c"`
	Plan     string `yaml:"plan" json:"plan" msgpack:"p"`
}

// Limit holds the limits of a plan. For each amount, zero means unlimited.
type Limit struct {
	Plan string `yaml:"plan" json:"plan" msgpack:"p"`
	// Priority orders load shedding: 0 is shed first, MaxPriority last.
	Priority int `yaml:"priority" json:"priority" msgpack:"pr"`
	// RequestsPerSecond and Concurrency bound one customer's requests at one entry.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" msgpack:"rs"`
	Concurrency       int     `yaml:"concurrency" json:"concurrency" msgpack:"co"`
	// CPUMilli, MemoryMiB and Accelerators bound one customer's running tasks.
	CPUMilli     int64 `yaml:"cpu_milli" json:"cpu_milli" msgpack:"cm"`
	MemoryMiB    int64 `yaml:"memory_mib" json:"memory_mib" msgpack:"mm"`
	Accelerators int64 `yaml:"accelerators" json:"accelerators" msgpack:"ac"`
	// ShareWeight is the customer's weight in fair sharing; 0 counts as 1.
	ShareWeight float64 `yaml:"share_weight" json:"share_weight" msgpack:"sw"`
}

// Document holds the lists and their generation.
type Document struct {
	// Generation is 0 before the first accepted change and increases by 1 with each change.
	Generation uint64         `yaml:"generation" json:"generation" msgpack:"g"`
	Plans      []CustomerPlan `yaml:"plans" json:"plans" msgpack:"pl"`
	Limits     []Limit        `yaml:"limits" json:"limits" msgpack:"li"`
	// EvacuatedZones are the availability zones in which nothing new may start, in order.
	EvacuatedZones []string `yaml:"evacuated_zones" json:"evacuated_zones,omitempty" msgpack:"ez,omitempty"`
}

// Evacuated reports whether the zone is under evacuation.
func (d Document) Evacuated(zone string) bool { return slices.Contains(d.EvacuatedZones, zone) }

// WithZone returns a copy in which the zone is under evacuation or not.
func (d Document) WithZone(zone string, evacuated bool) Document {
	d = d.Clone()
	d.EvacuatedZones = slices.DeleteFunc(d.EvacuatedZones, func(z string) bool { return z == zone })
	if evacuated {
		d.EvacuatedZones = append(d.EvacuatedZones, zone)
		slices.Sort(d.EvacuatedZones)
	}
	return d
}

// Parse decodes a YAML document, rejecting unknown fields and duplicate keys, and validates it.
// Errors name the file, line and field.
func Parse(file string, data []byte) (Document, error) {
	var doc Document
	if err := strictyaml.Decode(file, data, &doc); err != nil {
		return Document{}, err
	}
	if err := doc.Validate(); err != nil {
		return Document{}, errkind.Wrap(errkind.InvalidArgument, err, "%s", file)
	}
	return doc, nil
}

// Validate checks the document and reports all errors together.
func (d Document) Validate() error {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if len(d.Plans) > MaxCustomers {
		report("plans: %d entries, at most %d", len(d.Plans), MaxCustomers)
	}
	if len(d.Limits) > MaxPlans {
		report("limits: %d entries, at most %d", len(d.Limits), MaxPlans)
	}
	limits := d.validateLimits(report)
	d.validatePlans(limits, report)
	d.validateZones(report)
	if len(problems) > 0 {
		return errkind.New(errkind.InvalidArgument, "%s", strings.Join(problems, "; "))
	}
	return nil
}

func (d Document) validateLimits(report func(string, ...any)) map[string]bool {
	seen := make(map[string]bool, len(d.Limits))
	for i, l := range d.Limits {
		if l.Plan == "" {
			report("limits[%d].plan: must not be empty", i)
		}
		if seen[l.Plan] {
			report("limits[%d].plan: duplicate name %q", i, l.Plan)
		}
		seen[l.Plan] = true
		if l.Priority < 0 || l.Priority > MaxPriority {
			report("limits[%d].priority: %d is outside 0..%d", i, l.Priority, MaxPriority)
		}
		if !validAmount(l.RequestsPerSecond) || l.Concurrency < 0 || l.CPUMilli < 0 || l.MemoryMiB < 0 || l.Accelerators < 0 || !validAmount(l.ShareWeight) {
			report("limits[%d]: amounts of plan %q must be finite and not negative", i, l.Plan)
		}
	}
	return seen
}

// validAmount reports whether v is finite and not negative. YAML allows .nan, for which every
// comparison is false.
func validAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func (d Document) validatePlans(limits map[string]bool, report func(string, ...any)) {
	seen := make(map[string]bool, len(d.Plans))
	for i, p := range d.Plans {
		if p.Customer == "" {
			report("plans[%d].customer: must not be empty", i)
		}
		if seen[p.Customer] {
			report("plans[%d].customer: duplicate name %q", i, p.Customer)
		}
		seen[p.Customer] = true
		if !limits[p.Plan] {
			report("plans[%d].plan: no limit names plan %q", i, p.Plan)
		}
	}
}

func (d Document) validateZones(report func(string, ...any)) {
	if len(d.EvacuatedZones) > MaxZones {
		report("evacuated_zones: %d entries, at most %d", len(d.EvacuatedZones), MaxZones)
	}
	for i, z := range d.EvacuatedZones {
		if z == "" {
			report("evacuated_zones[%d]: must not be empty", i)
		}
		if slices.Contains(d.EvacuatedZones[:i], z) {
			report("evacuated_zones[%d]: duplicate name %q", i, z)
		}
	}
}

// LimitOf returns the limit of the customer's plan and whether the customer is listed.
func (d Document) LimitOf(customer string) (Limit, bool) {
	for _, p := range d.Plans {
		if p.Customer == customer {
			return d.limitOfPlan(p.Plan)
		}
	}
	return Limit{}, false
}

func (d Document) limitOfPlan(name string) (Limit, bool) {
	for _, l := range d.Limits {
		if l.Plan == name {
			return l, true
		}
	}
	return Limit{}, false
}
