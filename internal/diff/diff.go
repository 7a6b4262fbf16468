// Package diff compares two texts line by line.
package diff

import (
	"strings"
)

// maxCells bounds the table of the comparison; beyond it the texts are shown as
// wholly different.
const maxCells = 25_000_000

// Lines returns the lines that differ, with "-" before those of a alone and "+"
// before those of b alone. Equal lines are left out.
func Lines(a, b string) []string {
	x, y := split(a), split(b)
	x, y = trimCommon(x, y)
	if len(x)*len(y) > maxCells {
		return append(mark("-", x), mark("+", y)...)
	}
	return walk(x, y, lengths(x, y))
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

func trimCommon(x, y []string) (restX, restY []string) {
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	return x, y
}

// lengths gives the longest common subsequence of every pair of tails.
func lengths(x, y []string) [][]int32 {
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

func walk(x, y []string, table [][]int32) []string {
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
	out = append(out, mark("-", x[i:])...)
	return append(out, mark("+", y[j:])...)
}

func mark(sign string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = sign + " " + l
	}
	return out
}
