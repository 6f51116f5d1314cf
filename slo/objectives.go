// Package slo reads service-level objectives in a subset of OpenSLO v1 and compares them with the
// daemons' counters. Read returns Documents; Evaluate turns them and the summed counters into
// Reports.
package slo

import (
	"bytes"
	"errors"
	"io"

	"gopkg.in/yaml.v3"

	"orchidjunction/rpc"
)

// Document is one service-level objective in OpenSLO v1, with the fields that are used here.
type Document struct {
	APIVersion string `yaml:"apiVersion"`
	Kind       string `yaml:"kind"`
	Metadata   struct {
		Name        string `yaml:"name"`
		DisplayName string `yaml:"displayName"`
	} `yaml:"metadata"`
	Spec struct {
		Description     string      `yaml:"description"`
		Service         string      `yaml:"service"`
		Indicator       Indicator   `yaml:"indicator"`
		BudgetingMethod string      `yaml:"budgetingMethod"`
		Objectives      []Objective `yaml:"objectives"`
	} `yaml:"spec"`
}

// Indicator is the ratio of good events to all events.
type Indicator struct {
	Metadata struct {
		Name string `yaml:"name"`
	} `yaml:"metadata"`
	Spec struct {
		RatioMetric struct {
			Counter bool   `yaml:"counter"`
			Good    Metric `yaml:"good"`
			Total   Metric `yaml:"total"`
		} `yaml:"ratioMetric"`
	} `yaml:"spec"`
}

// Metric is a sum of the daemons' counters.
type Metric struct {
	MetricSource struct {
		Type string `yaml:"type"`
		Spec struct {
			Counters []string `yaml:"counters"`
		} `yaml:"spec"`
	} `yaml:"metricSource"`
}

// Objective is the minimum ratio of good events, between 0 and 1.
type Objective struct {
	DisplayName string  `yaml:"displayName"`
	Target      float64 `yaml:"target"`
}

const metricSourceType = "orchidjunction"

// Read decodes one or more YAML documents. It returns rpc.BadRequest for an
// unknown field, a form that is not supported, or no document.
func Read(body []byte) ([]Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	decoder.KnownFields(true)
	documents := []Document{}
	for {
		document := Document{}
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, rpc.Errorf(rpc.BadRequest, "document %d: %v", len(documents)+1, err)
		}
		if err := document.check(); err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	if len(documents) == 0 {
		return nil, rpc.Errorf(rpc.BadRequest, "no document")
	}
	return documents, nil
}

func (document *Document) check() error {
	name, ratio := document.Metadata.Name, &document.Spec.Indicator.Spec.RatioMetric
	switch {
	case document.APIVersion != "openslo/v1" || document.Kind != "SLO":
		return rpc.Errorf(rpc.BadRequest, "%s: want apiVersion openslo/v1 and kind SLO", name)
	case name == "":
		return rpc.Errorf(rpc.BadRequest, "metadata.name must be given")
	case document.Spec.BudgetingMethod != "Occurrences":
		return rpc.Errorf(rpc.BadRequest, "%s: spec.budgetingMethod: want Occurrences", name)
	case len(document.Spec.Objectives) == 0:
		return rpc.Errorf(rpc.BadRequest, "%s: spec.objectives must be given", name)
	}
	for path, metric := range map[string]*Metric{"good": &ratio.Good, "total": &ratio.Total} {
		if metric.MetricSource.Type != metricSourceType || len(metric.MetricSource.Spec.Counters) == 0 {
			return rpc.Errorf(
				rpc.BadRequest,
				"%s: ratioMetric.%s: want a metricSource of type %s with counters",
				name,
				path,
				metricSourceType,
			)
		}
	}
	for _, objective := range document.Spec.Objectives {
		if objective.Target <= 0 || objective.Target >= 1 {
			return rpc.Errorf(rpc.BadRequest, "%s: target %v is not between 0 and 1", name, objective.Target)
		}
	}
	return nil
}

// Report is one objective with its counts. Left is the fraction of the error budget that remains;
// it is negative once the budget is exceeded.
type Report struct {
	Name   string  `json:"name"`
	Target float64 `json:"target"`
	Good   uint64  `json:"good"`
	Total  uint64  `json:"total"`
	Ratio  float64 `json:"ratio"`
	Met    bool    `json:"met"`
	Left   float64 `json:"budget_left"`
}

// Evaluate compares the objectives with counters summed over all daemons. Without
// any event an objective counts as met.
func Evaluate(documents []Document, counts map[string]uint64) []Report {
	sum := func(metric *Metric) uint64 {
		total := uint64(0)
		for _, name := range metric.MetricSource.Spec.Counters {
			total += counts[name]
		}
		return total
	}
	reports := []Report{}
	for index := range documents {
		ratio := &documents[index].Spec.Indicator.Spec.RatioMetric
		good, total := sum(&ratio.Good), sum(&ratio.Total)
		for _, objective := range documents[index].Spec.Objectives {
			report := Report{Name: documents[index].Metadata.Name, Target: objective.Target, Good: good, Total: total, Ratio: 1, Left: 1}
			if total > 0 {
				report.Ratio = float64(good) / float64(total)
				report.Left = 1 - (1-report.Ratio)/(1-objective.Target)
			}
			report.Met = report.Ratio >= objective.Target
			reports = append(reports, report)
		}
	}
	return reports
}
