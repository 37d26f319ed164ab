/** Guards against the use of parts that a late write gives away (P5). */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {ShareView} from '../lib/share-view.js';

const ROW = {owners: {a: 600_000, b: 400_000}, freeParts: 0};
const AFTER = {owners: {a: 100_000, b: 900_000}, freeParts: 0};

function viewAt(version: number): ShareView {
  const view = ShareView.create('a', () => {});
  view.observe(version, ROW);
  return view;
}

describe('share view', () => {
  it('keeps a lowered share while its write may still take effect', () => {
    const view = viewAt(5);
    view.lowerTo(100_000);
    view.markUndecided();
    // A re-read that shows the old row proves nothing about the write.
    view.observe(5, ROW);
    expect(view.usableParts()).toEqual(100_000);
    view.observe(6, AFTER);
    expect(view.usableParts()).toEqual(100_000);
    expect(view.undecided).toEqual(undefined);
  });

  it('takes the share back once another write made the lost one void', () => {
    const view = viewAt(5);
    view.lowerTo(100_000);
    view.markUndecided();
    view.observe(6, ROW);
    expect(view.usableParts()).toEqual(600_000);
  });

  it('ignores rows older than the one it knows and obeys newer ones', () => {
    const view = viewAt(5);
    view.observe(4, AFTER);
    expect(view.usableParts()).toEqual(600_000);
    view.observe(6, AFTER);
    expect(view.usableParts()).toEqual(100_000);
  });

  it('uses nothing after a planned stop, whatever later rows say', () => {
    const view = viewAt(5);
    view.close();
    view.observe(6, ROW);
    expect(view.usableParts()).toEqual(0);
  });
});
