/** Guards against a process that ends because the platform left a field empty. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {parseGatewaySettings} from '../lib/gateway-settings.js';
import {settingsText} from '../testing/settings-text.js';

describe('settings with empty fields', () => {
  it('takes those that may be absent as absent', () => {
    const text = settingsText({})
      .replace('[entry]', 'processor_share =\nfirst_start =\n[entry]')
      .replace('stop_within_ms', 'server_leave_ms =\nstop_within_ms');
    const {instance, promises} = parseGatewaySettings(text, 'test').unwrap();
    expect(instance.processor_share).toEqual(undefined);
    expect(instance.first_start).toEqual('false');
    expect(promises.server_leave_ms).toEqual(undefined);
  });

  it('rejects values that are no numbers', () => {
    const text = settingsText({}).replace(
      '[entry]',
      'processor_share = x\n[entry]',
    );
    expect(parseGatewaySettings(text, 'test').err).toEqual(true);
  });
});
