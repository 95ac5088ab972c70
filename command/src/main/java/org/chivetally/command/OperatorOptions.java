package org.chivetally.command;

import org.chivetally.command.client.EntryRequest;
import picocli.CommandLine.Option;

/** Option that names the operator who makes a change. */
final class OperatorOptions {
    private static final String HEADER = "Chivetally-Operator";

    @Option(
            names = "--as",
            paramLabel = "NAME",
            defaultValue = "${env:CHIVETALLY_OPERATOR:-${env:USER:-unnamed}}",
            description = "Name recorded with the change; by default CHIVETALLY_OPERATOR, then USER.")
    private String operator;

    EntryRequest withOperator(EntryRequest request) {
        return request.withHeader(HEADER, operator);
    }
}
