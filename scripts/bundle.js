// Bundles the program that the platform starts into target/, together with a
// V8 code cache, since compiling the libraries dominates the startup time.
import {build} from 'esbuild';
import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';

const BUNDLE = 'target/fireflytrackd.bundle.cjs';
const LOADER = 'target/fireflytrackd.cjs';
const DEPLOYMENT = 'deploy/system.toml';

// Library modules that are loaded at startup but never called by the gateway:
// body parsing, uploads and static files of moleculer-web, the runner and the
// reporters of moleculer, HTTP/2 of undici, the default and cluster metrics of
// prom-client, and the locales of zod. They would make up half of the bundle and
// delay each restart.
const UNUSED_MODULES = [
  /\/@fastify\/busboy\//,
  /\/body-parser\//,
  /\/serve-static\//,
  /\/node-fetch\//,
  /\/moleculer\/src\/runner\.js$/,
  /\/undici\/lib\/dispatcher\/client-h2\.js$/,
  /\/prom-client\/lib\/(cluster|defaultMetrics)\.js$/,
  /\/zod\/v4\/locales\/index\.js$/,
];
const stubUnusedModules = {
  name: 'stub-unused-modules',
  setup(build) {
    build.onLoad({filter: /node_modules/}, ({path}) =>
      UNUSED_MODULES.some(unused => unused.test(path))
        ? {contents: 'module.exports = {};'}
        : undefined,
    );
    // The entry module of undici also loads fetch, cookies, caches and mocks.
    build.onResolve({filter: /^undici$/}, () => ({
      path: 'undici',
      namespace: 'undici-clients',
    }));
    build.onLoad({filter: /.*/, namespace: 'undici-clients'}, () => ({
      contents: `
        import api from 'undici/lib/api/index.js';
        import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
        Object.assign(Dispatcher.prototype, api);
        export {default as Client} from 'undici/lib/dispatcher/client.js';
        export {default as Pool} from 'undici/lib/dispatcher/pool.js';
        export {default as errors} from 'undici/lib/core/errors.js';
      `,
      resolveDir: '.',
    }));
  },
};

mkdirSync('target', {recursive: true});
const result = await build({
  entryPoints: ['platform/src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  conditions: ['source'],
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [stubUnusedModules],
  logLevel: 'error',
  metafile: true,
  // The module format of ts-results cannot be bundled. The others are optional
  // dependencies that this program doesn't use, mostly of moleculer.
  external: [
    'ts-results',
    '@opentelemetry/*', 'amqplib', 'avsc', 'bunyan', 'dd-trace', 'debug',
    'etcd3', 'event-loop-stats', 'fastest-validator-*', 'gc-stats', 'ioredis',
    'jaeger-client', 'kafka-node', 'kafkajs', 'log4js', 'mqtt', 'msgpack5',
    'nats', 'newrelic', 'node-nats-streaming', 'notepack.io', 'pino',
    'protobufjs', 'redlock', 'rhea-promise', 'thrift', 'v8-natives',
    'zipkin-javascript-opentracing', '@datadog/native-metrics',
    'cbor-extract', '@andyrmitchell/*', 'bluebird', 'pino-pretty',
  ],
});
if (process.argv.includes('--meta')) {
  writeFileSync('target/meta.json', JSON.stringify(result.metafile));
}
// The wrapper of a CommonJS module, written here so that the loader needs no
// second copy of the text in memory.
const code = readFileSync(BUNDLE, 'utf8');
writeFileSync(
  BUNDLE,
  `(function (exports, require, module, __filename, __dirname) {${code}\n})`,
);

const loader = `'use strict';
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');
const file = path.join(__dirname, 'fireflytrackd.bundle.cjs');
const cacheFile = file + '.cache';
const writesCache = process.argv.includes('--write-code-cache');
const cachedData =
  !writesCache && fs.existsSync(cacheFile)
    ? fs.readFileSync(cacheFile)
    : undefined;
const script = new vm.Script(fs.readFileSync(file, 'utf8'), {
  filename: file,
  cachedData,
  importModuleDynamically: vm.constants?.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
if (script.cachedDataRejected) {
  console.error('code cache rejected: written by another version of Node.js or with other options');
}
const program = {exports: {}};
script.runInThisContext()(program.exports, require, program, file, __dirname);
if (writesCache) {
  // Delayed, so that the cache includes the functions compiled during startup.
  setTimeout(() => {
    fs.writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
  }, 500);
}
`;
writeFileSync(LOADER, loader);
// V8 rejects a cache that was written with other options than it runs with.
const cacheRun = spawnSync(
  process.execPath,
  [...readNodeOptions(), LOADER, '--write-code-cache'],
  {stdio: 'inherit'},
);
process.exit(cacheRun.status ?? 1);

/** Options of Node.js in the command that starts the program. */
function readNodeOptions() {
  const deployment = readFileSync(DEPLOYMENT, 'utf8');
  const command = /^run = "node (.*)target\/fireflytrackd\.cjs"$/m.exec(
    deployment,
  );
  if (!command) throw new Error(`${DEPLOYMENT}: no command runs ${LOADER}`);
  return command[1].split(' ').filter(option => option !== '');
}
