package estate

import (
	"sort"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func sortedDocuments(documents map[string]*apiv1.Document) []string {
	names := make([]string, 0, len(documents))
	for name := range documents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
