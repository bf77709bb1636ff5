import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeJson} from './decode_json.js';

describe('decodeJson', () => {
  it('decodes what JSON.stringify has written', () => {
    fc.assert(
      fc.property(fc.jsonValue(), value => {
        const text = JSON.stringify(value);
        expect(decodeJson(Buffer.from(text))).toEqual(JSON.parse(text));
      }),
    );
  });

  it('refuses text in another encoding instead of replacing what it cannot read', () => {
    const text = '{"service":"serviço"}';
    expect(decodeJson(Buffer.from(text, 'utf8'))).toEqual({service: 'serviço'});
    expect(() => decodeJson(Buffer.from(text, 'latin1'))).toThrow('UTF-8');
    expect(() => decodeJson(Buffer.from(text, 'utf16le'))).toThrow();
  });

  it.each(['', '{"a":', '\uFEFF{}'])('refuses %j', text => {
    expect(() => decodeJson(Buffer.from(text))).toThrow();
  });
});
