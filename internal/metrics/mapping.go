package metrics

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// mapping converts the names of a group of registered metrics.
type mapping struct {
	// pattern matches registered names part by part. Parts are separated by dots; a
	// part in braces is a label and matches any text.
	pattern string
	// family is the name of the rendered metric.
	family string
	// scale is the factor from the registered unit to the unit of the family; 0 means 1.
	// It applies to histograms only.
	scale float64
}

// resolvedName is a registered name converted to the exposition format.
type resolvedName struct {
	family, labels string
	scale          float64
}

// resolve returns the family and labels of a registered name. A name with labels is
// only sanitised. Another name is converted by the first mapping that matches. If none
// does, the name is sanitised and gets the prefix "boragegate_" and, for counters, the
// suffix "_total", unless it has them already.
func resolve(name string, metric any) resolvedName {
	if base, labels, ok := strings.Cut(name, "{"); ok {
		return resolvedName{family: sanitiseName(base), labels: strings.TrimSuffix(labels, "}"), scale: 1}
	}
	for _, m := range mappings {
		if labels, ok := m.match(name); ok {
			scale := m.scale
			if scale == 0 {
				scale = 1
			}
			_, l, _ := strings.Cut(Name("", labels...), "{")
			return resolvedName{family: m.family, labels: strings.TrimSuffix(l, "}"), scale: scale}
		}
	}
	family := sanitiseName(name)
	if !strings.HasPrefix(family, "boragegate_") {
		family = "boragegate_" + family
	}
	if _, ok := metric.(gometrics.Counter); ok && !strings.HasSuffix(family, "_total") {
		family += "_total"
	}
	return resolvedName{family: family, scale: 1}
}

// match reports whether the name matches the pattern and returns its labels as pairs
// of name and value.
func (m mapping) match(name string) ([]string, bool) {
	parts := strings.Split(m.pattern, ".")
	values := strings.SplitN(name, ".", len(parts))
	if len(values) != len(parts) {
		return nil, false
	}
	var labels []string
	for i, p := range parts {
		switch label, isLabel := strings.CutPrefix(p, "{"); {
		case isLabel:
			labels = append(labels, strings.TrimSuffix(label, "}"), values[i])
		case p != values[i]:
			return nil, false
		}
	}
	return labels, true
}

// sanitiseName replaces characters that the exposition format does not allow in
// metric names by underscores. It puts an underscore in front of a leading digit, and
// returns "_" for an empty name.
func sanitiseName(name string) string {
	name = strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == ':' {
			return r
		}
		return '_'
	}, name)
	if name == "" || name[0] >= '0' && name[0] <= '9' {
		return "_" + name
	}
	return name
}
