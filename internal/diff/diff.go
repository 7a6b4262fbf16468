// Package diff computes the line differences between two texts.
package diff

import (
	"strings"
)

// maxTableCells limits the size of the subsequence table. Larger texts are reported as
// completely different.
const maxTableCells = 25_000_000

// Lines returns the lines that differ: those only in a with the prefix "- ", those only in b
// with the prefix "+ ". Equal lines are omitted.
func Lines(a, b string) []string {
	x, y := splitLines(a), splitLines(b)
	x, y = trimCommon(x, y)
	if len(x)*len(y) > maxTableCells {
		return append(withSign("-", x), withSign("+", y)...)
	}
	return differences(x, y, lcsLengths(x, y))
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// trimCommon removes the common prefix and suffix.
func trimCommon(x, y []string) (restX, restY []string) {
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	return x, y
}

// lcsLengths returns a table whose cell i, j is the length of the longest common subsequence
// of x[i:] and y[j:].
func lcsLengths(x, y []string) [][]int32 {
	table := make([][]int32, len(x)+1)
	for i := range table {
		table[i] = make([]int32, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				table[i][j] = table[i+1][j+1] + 1
				continue
			}
			table[i][j] = max(table[i+1][j], table[i][j+1])
		}
	}
	return table
}

func differences(x, y []string, table [][]int32) []string {
	var out []string
	i, j := 0, 0
	for i < len(x) && j < len(y) {
		switch {
		case x[i] == y[j]:
			i, j = i+1, j+1
		case table[i+1][j] >= table[i][j+1]:
			out = append(out, "- "+x[i])
			i++
		default:
			out = append(out, "+ "+y[j])
			j++
		}
	}
	out = append(out, withSign("-", x[i:])...)
	return append(out, withSign("+", y[j:])...)
}

func withSign(sign string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = sign + " " + l
	}
	return out
}
