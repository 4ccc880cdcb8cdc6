/**
 * Parsers for branded ids. An id has 1 to 128 characters of letters, digits, ".", "_", ":" and "-", and starts with a
 * letter or a digit.
 */
import { type Either, Left, Right } from "purify-ts";
import type {
    Brand,
    ChangeId,
    DataCentreId,
    EndpointId,
    HostId,
    IdError,
    IdParser,
    Incarnation,
    JobId,
    ModelId,
    PipelineId,
    RequestId,
    StageId,
    WorkspaceId,
} from "./Types.js";

const idPattern = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

function idParser<B extends string>(what: string): IdParser<Brand<string, B>> {
    return (text: string): Either<IdError, Brand<string, B>> => {
        if (!idPattern.test(text)) {
            return Left({ kind: "invalid-id", what, text });
        }
        return Right(text as Brand<string, B>);
    };
}

export const parseHostId: IdParser<HostId> = idParser("host");
export const parseDataCentreId: IdParser<DataCentreId> = idParser("data centre");
export const parseWorkspaceId: IdParser<WorkspaceId> = idParser("workspace");
export const parseEndpointId: IdParser<EndpointId> = idParser("endpoint");
export const parsePipelineId: IdParser<PipelineId> = idParser("pipeline");
export const parseStageId: IdParser<StageId> = idParser("stage");
export const parseModelId: IdParser<ModelId> = idParser("model");
export const parseRequestId: IdParser<RequestId> = idParser("request");
export const parseJobId: IdParser<JobId> = idParser("job");
export const parseChangeId: IdParser<ChangeId> = idParser("change");

/**
 * Returns the incarnation for a start of the process: the wall clock time, or one more than the highest incarnation
 * seen before if that is greater.
 */
export function nextIncarnation(wallMs: number, highestSeen: number = 0): Incarnation {
    return Math.max(Math.floor(wallMs), highestSeen + 1) as Incarnation;
}
