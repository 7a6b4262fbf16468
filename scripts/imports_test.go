package scripts

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// importRule states that packages in from must not import packages in to. Each entry matches a
// package and its subpackages.
type importRule struct {
	desc     string
	from, to []string
	// exceptions lists the existing violations, formatted as "importer imported".
	exceptions []string
}

var (
	nodePackages       = []string{"internal/front", "internal/hop", "internal/link", "internal/proxy", "internal/endpoint", "internal/overload", "internal/node"}
	controlPackages    = []string{"internal/replica", "internal/operator"}
	experimentPackages = []string{"internal/capacity", "internal/dev", "internal/e2e", "internal/emulator", "internal/loadgen", "internal/mutation", "internal/replay", "internal/soak",
		"internal/standin", "internal/testcert", "internal/testnet", "internal/testport", "internal/virtual"}
	// productPackages lists the packages that must not import experimentPackages.
	productPackages = []string{"api", "core", "platform", "internal/adapter", "internal/controlclient", "internal/diff", "internal/endpoint", "internal/explain", "internal/front", "internal/hangup", "internal/hop", "internal/latency", "internal/link",
		"internal/logs", "internal/node", "internal/operator", "internal/overload", "internal/process", "internal/proxy", "internal/quarantine", "internal/replica", "internal/resources", "internal/settings",
		"internal/transport", "internal/usage", "internal/version", "internal/wal"}
)

var importRules = []importRule{
	{desc: "wire messages do not import logic", from: []string{"api"}, to: []string{"core", "internal", "platform", "cmd", "deploy"}},
	{desc: "decision logic does not import drivers", from: []string{"core"}, to: []string{"internal", "platform", "cmd", "deploy"}},
	// Nodes and control replicas communicate only over the wire.
	{desc: "node packages do not import control packages", from: nodePackages, to: controlPackages, exceptions: []string{"internal/node internal/replica"}},
	{desc: "control packages do not import node packages", from: controlPackages, to: nodePackages},
	{desc: "product packages do not import experiments", from: productPackages, to: experimentPackages},
	{desc: "api, core and internal do not import platform or deploy", from: []string{"api", "core", "internal"}, to: []string{"platform", "deploy"}},
}

// Guards against imports between layers that docs/ARCHITECTURE.md forbids.
func TestLayerImportRules(t *testing.T) {
	imports := readImports(t)
	var unclassified []string
	for importer := range imports {
		if strings.HasPrefix(importer, "internal/") && !matchesAny(importer, productPackages) && !matchesAny(importer, experimentPackages) {
			unclassified = append(unclassified, importer)
		}
	}
	assert.Equal(t, len(unclassified), 0, "packages in neither productPackages nor experimentPackages: %v", unclassified)
	for _, rule := range importRules {
		t.Run(rule.desc, func(t *testing.T) {
			var violations []string
			for importer, importedPackages := range imports {
				for _, imported := range importedPackages {
					if matchesAny(importer, rule.from) && matchesAny(imported, rule.to) {
						violations = append(violations, importer+" "+imported)
					}
				}
			}
			slices.Sort(violations)
			assert.DeepEqual(t, append([]string{}, violations...), append([]string{}, rule.exceptions...))
		})
	}
}

// readImports returns the workspace packages that each package imports, keyed by package folder.
// Test files are excluded. The source files are parsed in process so that the go command tracks
// them as test inputs and does not reuse a cached result after they change.
func readImports(t *testing.T) map[string][]string {
	t.Helper()
	const modulePrefix = "cactuspath/"
	imports := map[string][]string{}
	for _, folder := range []string{"api", "core", "internal", "platform", "cmd", "deploy"} {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			importer := filepath.ToSlash(strings.TrimPrefix(filepath.Dir(path), ".."+string(filepath.Separator)))
			if imports[importer] == nil {
				imports[importer] = []string{}
			}
			for _, spec := range file.Imports {
				if imported, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), modulePrefix); ok && !slices.Contains(imports[importer], imported) {
					imports[importer] = append(imports[importer], imported)
				}
			}
			return nil
		})
		assert.NilError(t, err)
	}
	return imports
}

// matchesAny reports whether name is one of packages or a subpackage of one.
func matchesAny(name string, packages []string) bool {
	return slices.ContainsFunc(packages, func(p string) bool { return name == p || strings.HasPrefix(name, p+"/") })
}
