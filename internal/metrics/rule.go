package metrics

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// mapping names a group of registered metrics.
type mapping struct {
	// pattern has dotted parts; parts in braces are labels.
	pattern string
	family  string
	// scale is the factor to the unit of the family; 0 is 1.
	scale float64
}

// resolvedName is a registered name in the terms of the format.
type resolvedName struct {
	family, labels string
	scale          float64
}

// resolve finds family and labels of a registered name.
func resolve(name string, metric any) resolvedName {
	if base, labels, ok := strings.Cut(name, "{"); ok {
		return resolvedName{family: sanitiseName(base), labels: strings.TrimSuffix(labels, "}"), scale: 1}
	}
	for _, r := range mappings {
		if labels, ok := r.match(name); ok {
			unit := r.scale
			if unit == 0 {
				unit = 1
			}
			_, l, _ := strings.Cut(Name("", labels...), "{")
			return resolvedName{family: r.family, labels: strings.TrimSuffix(l, "}"), scale: unit}
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

// match returns pairs of label and value if the name fits the pattern.
func (r mapping) match(name string) ([]string, bool) {
	parts := strings.Split(r.pattern, ".")
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

// sanitiseName replaces characters that the format does not allow in names.
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
