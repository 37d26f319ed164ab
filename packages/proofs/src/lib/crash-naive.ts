/** A naive fleet: whatever was on three servers that went down is held back. */
import {CrashSuspects} from '@fireflytrack/upstream';
import type {CrashSuspectsOptions} from '@fireflytrack/upstream';

export const UnclearedSuspects = {
  create(options: CrashSuspectsOptions): CrashSuspects {
    const suspects = CrashSuspects.create(options);
    suspects.recordSuccess = () => {};
    return suspects;
  },
};
