/**
 * Guards against an instance using parts that a delayed write of its own still
 * transfers to another instance (property P5).
 */
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
  it('keeps the share lowered while its write may still take effect', () => {
    const view = viewAt(5);
    view.lowerTo(100_000);
    view.markWriteUndecided();
    // Reading the old row again does not show that the write failed.
    view.observe(5, ROW);
    expect(view.usableParts()).toEqual(100_000);
    view.observe(6, AFTER);
    expect(view.usableParts()).toEqual(100_000);
    expect(view.undecidedWriteVersion).toEqual(undefined);
  });

  it('restores the share once another write has superseded the undecided one', () => {
    const view = viewAt(5);
    view.lowerTo(100_000);
    view.markWriteUndecided();
    view.observe(6, ROW);
    expect(view.usableParts()).toEqual(600_000);
  });

  it('ignores rows older than the known one and applies newer ones', () => {
    const view = viewAt(5);
    view.observe(4, AFTER);
    expect(view.usableParts()).toEqual(600_000);
    view.observe(6, AFTER);
    expect(view.usableParts()).toEqual(100_000);
  });

  it('uses no parts after it is closed, regardless of later rows', () => {
    const view = viewAt(5);
    view.close();
    view.observe(6, ROW);
    expect(view.usableParts()).toEqual(0);
  });
});
