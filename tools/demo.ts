/**
 * Demo: starts a small fleet with stand-ins for each region, sends one sample
 * request of every class, prints the answers and stops the fleet.
 */
import {request} from 'undici';
import {ClassKind} from '../src/config/configuration.js';
import {addressAnswerSchema, CallerHeader} from '../src/protocol/callerApi.js';
import {LocalFleet} from './localFleet.js';
import {
  buildConfiguration,
  getCustomerSecret,
  Region,
} from './sampleDeployments.js';

const customerId = 'customer-1';
const authorization = `Bearer ${customerId}.${getCustomerSecret(customerId)}`;

/** Prints one answer. */
function printAnswer(title: string, status: number, body: string): void {
  console.log(`\n== ${title}: ${status}\n${body}`);
}

async function sendSamples(fleet: LocalFleet): Promise<void> {
  const {shape, vms} = fleet;
  const response = await request(
    `${vms[0].callerUrl}/v1/addresses?zone=${shape.zones[0]}`,
    {headers: {authorization}},
  );
  const answer = addressAnswerSchema.parse(await response.body.json());
  printAnswer(
    'address answer',
    response.statusCode,
    JSON.stringify(answer, null, 1),
  );
  const baseUrl = answer.addresses[0].url;
  const {classes} = buildConfiguration(shape, {engines: [], services: []});
  for (const [className, requestClass] of Object.entries(classes)) {
    switch (requestClass.kind) {
      case ClassKind.Model:
        await sendChat(baseUrl, className, shape.model);
        break;
      case ClassKind.Service: {
        const key = requestClass.repeatable
          ? undefined
          : `${answer.operationPrefix.prefix}.${className}-1`;
        await sendCall(baseUrl, className, shape.service, key);
        break;
      }
    }
  }
  await sendChat(baseUrl, 'unknown-class', shape.model);
}

async function sendChat(
  baseUrl: string,
  className: string,
  model: string,
): Promise<void> {
  const response = await request(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization,
      'content-type': 'application/json',
      [CallerHeader.Class]: className,
    },
    body: JSON.stringify({
      model,
      messages: [{role: 'user', content: `Sample of class ${className}`}],
      stream: true,
      max_tokens: 8,
    }),
  });
  const body = await response.body.text();
  printAnswer(`class ${className}`, response.statusCode, body.trim());
}

async function sendCall(
  baseUrl: string,
  className: string,
  service: string,
  operationKey: string | undefined,
): Promise<void> {
  const response = await request(`${baseUrl}/v1/services/${service}/orders`, {
    method: operationKey ? 'POST' : 'GET',
    headers: {
      authorization,
      'content-type': 'application/json',
      [CallerHeader.Class]: className,
      ...(operationKey ? {[CallerHeader.OperationKey]: operationKey} : {}),
    },
    body: operationKey ? JSON.stringify({item: 'sample', count: 2}) : null,
  });
  const body = await response.body.text();
  printAnswer(`class ${className}`, response.statusCode, body.trim());
}

async function runDemo(): Promise<void> {
  for (const region of Object.values(Region)) {
    console.log(`\n# region ${region}`);
    const fleet = await LocalFleet.start({
      region,
      vms: 2,
      engines: 2,
      services: 1,
    });
    const stop = () => void fleet.stop().then(() => process.exit(130));
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
    try {
      await sendSamples(fleet);
    } finally {
      await fleet.stop();
      process.off('SIGINT', stop);
      process.off('SIGTERM', stop);
    }
  }
}

await runDemo();
