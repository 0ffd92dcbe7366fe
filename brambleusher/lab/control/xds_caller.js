// Makes one call after another through the pure JavaScript xDS client of gRPC for Node.js, until killed or
// for at most two minutes.
// GRPC_XDS_BOOTSTRAP=FILE NODE_PATH=MODULES node xds_caller.js xds:///NAME CALLER
const grpc = require('@grpc/grpc-js');
require('@grpc/grpc-js-xds').register();

const [target, name] = process.argv.slice(2);
const client = new grpc.Client(target, grpc.credentials.createInsecure());
const until = Date.now() + 120000;
const same = (bytes) => bytes;

function call() {
  const options = { deadline: Date.now() + 5000 };
  client.makeUnaryRequest('/look/Get', same, same, Buffer.from(name), options, (error) => {
    if (error) console.error(`${name}: ${error.code} ${error.details}`);
    if (Date.now() > until) process.exit(0);
    setTimeout(call, error ? 100 : 2);
  });
}
call();
