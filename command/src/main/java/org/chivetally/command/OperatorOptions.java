package org.chivetally.command;

import org.chivetally.command.client.EntryRequest;
import picocli.CommandLine.Option;

/** Who makes a change. */
final class OperatorOptions {
    private static final String HEADER = "Chivetally-Operator";

    @Option(
            names = "--as",
            paramLabel = "NAME",
            defaultValue = "${env:CHIVETALLY_OPERATOR:-${env:USER:-unnamed}}",
            description = "Name that the change is kept under; by default CHIVETALLY_OPERATOR, then USER.")
    private String operator;

    EntryRequest withOperator(EntryRequest request) {
        return request.withHeader(HEADER, operator);
    }
}
