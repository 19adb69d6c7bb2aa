/** Import rules: no cycles, and packages are imported through their public index only. */
module.exports = {
  forbidden: [
    { name: 'no-circular', severity: 'error', from: {}, to: { circular: true } },
    {
      name: 'public-index-only',
      severity: 'error',
      from: { path: '^(packages|apps|bench)/?([^/]*)/' },
      to: { path: '^packages/([^/]+)/src/lib/', pathNot: '^packages/$2/' },
    },
    {
      name: 'packages-do-not-import-apps',
      severity: 'error',
      from: { path: '^packages/' },
      to: { path: '^(apps|bench)/' },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
    exclude: { path: '(node_modules|generated|dist)' },
    enhancedResolveOptions: {
      exportsFields: ['exports'],
      conditionNames: ['import', 'default'],
      extensions: ['.ts', '.js'],
    },
  },
};
